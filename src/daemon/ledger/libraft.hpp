// Includes the header of libraft 0.15, which has no extern "C" guards for C++.
#pragma once

extern "C" {
#include <raft.h>
}
