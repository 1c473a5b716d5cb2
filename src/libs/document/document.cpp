#include "document.h"

#include "delta.h"
