#include "replication/messages.h"
