#include "document.h"
