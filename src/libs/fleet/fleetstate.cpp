#include "fleetstate.h"
#include "record.h"
