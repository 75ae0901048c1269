// The classification of errno values.
#include "net/call_result.hpp"

#include <gtest/gtest.h>

namespace violetusher::net {
namespace {

TEST(CallResult, LocalShortagesAreTransient) {
  for (int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM, ENOSPC, EDQUOT, EIO, EADDRNOTAVAIL,
                    ENETUNREACH, ENETDOWN, ENOLCK, EINTR})
    EXPECT_EQ(classify_error(error), CallResult::kTransientError) << error;
  for (int error : {ENOENT, EACCES, EISDIR, EROFS, ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, EPIPE})
    EXPECT_EQ(classify_error(error), CallResult::kPermanentError) << error;
  EXPECT_EQ(classify_error(EAGAIN), CallResult::kWouldBlock);
  EXPECT_EQ(classify_error(0), CallResult::kDone);
}

TEST(CallResult, AnUnreachableNetworkBreaksAConnection) {
  for (int error : {ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ECONNRESET, EPIPE})
    EXPECT_EQ(classify_connection_error(error), CallResult::kPermanentError) << error;
  for (int error : {ENOBUFS, ENOMEM})
    EXPECT_EQ(classify_connection_error(error), CallResult::kTransientError) << error;
  EXPECT_EQ(classify_connection_error(EAGAIN), CallResult::kWouldBlock);
}

TEST(CallResult, AcceptErrorsOfOneConnectionDontAffectTheNext) {
  for (int error : {ECONNABORTED, EPROTO, ENETUNREACH, EHOSTUNREACH})
    EXPECT_TRUE(affects_one_connection(error)) << error;
  for (int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM, EAGAIN, EBADF})
    EXPECT_FALSE(affects_one_connection(error)) << error;
}

TEST(CallResult, InterruptedCallsAreRetried) {
  int calls = 0;
  auto result = retry_interrupted([&] {
    errno = EINTR;
    return ++calls < 3 ? -1 : 7;
  });
  EXPECT_EQ(result, 7);
  EXPECT_EQ(calls, 3);
}

}  // namespace
}  // namespace violetusher::net
