// libraft's header (0.15) knows nothing of C++.
#pragma once

extern "C" {
#include <raft.h>
}
