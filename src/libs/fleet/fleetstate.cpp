#include "fleetstate.h"
