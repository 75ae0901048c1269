// Signals as flags that the loop asks for. A handler that hands them over a socket pair, as
// libevent's does, loses one where that write fails.
#pragma once

namespace violetusher {

/// From now on the signal is kept until it is taken.
void capture_signal(int number);
/// Whether the signal has come since it was last taken.
bool consume_signal(int number);

}  // namespace violetusher
