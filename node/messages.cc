#include "node/messages.h"
