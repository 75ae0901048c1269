// Signals as flags that the event loop polls. libevent's handler passes signals through a socket
// pair instead, and loses one if that write fails.
#pragma once

namespace violetusher {

/// Installs a handler that records the signal until it is consumed.
void capture_signal(int number);
/// Whether the signal has arrived since it was last consumed.
bool consume_signal(int number);

}  // namespace violetusher
