// Parsing answers that come in pieces: what contradicts itself is told from what is only slow.
#include <gtest/gtest.h>

#include "protocol/meta.hpp"

namespace violetusher::protocol {
namespace {

using Got = AnswerReader::Got;

struct Pieces {
  Got take(std::string_view text) { return reader.take(text, answer); }
  std::vector<violetusher::ReportField> fields;
  AnswerReader reader{&fields};
  Answer answer;
};

TEST(AnswerReader, EveryBeginningOfAnAnswerMayStillBecomeOne) {
  const std::string answers[] = {
      "VA 5 Oa h1\r\nprice\r\n", "HD Oa cR\r\n", "EN Oa\r\n", "SERVER_ERROR busy\r\n",
      "CLIENT_ERROR bad\r\n",    "ERROR\r\n",    "NS\r\n"};
  for (const std::string& text : answers)
    for (std::size_t size = 1; size < text.size(); ++size) {
      Pieces pieces;
      EXPECT_EQ(pieces.take(text.substr(0, size)), Got::Nothing) << text << size;
      EXPECT_TRUE(pieces.reader.in_answer());
      EXPECT_EQ(pieces.take(text.substr(size)), Got::Answer) << text << size;
    }
}

TEST(AnswerReader, NoiseIsFoundOutBeforeItsLineEnds) {
  for (const char* text :
       {"\x01\x02", "V5", "VALUE", "va 5", " VA", "HD \x7f", "SERVER_ERRORS", "x"})
    EXPECT_EQ(Pieces().take(text), Got::Broken) << text;
}

TEST(AnswerReader, TheHeadOfAValueIsKnownBeforeTheValue) {
  for (std::size_t length : {5u, 100'000u}) {
    Pieces pieces;
    EXPECT_EQ(pieces.reader.value_head(), nullptr);
    pieces.take("VA " + std::to_string(length) + " Oother h1\r\npr");
    ASSERT_NE(pieces.reader.value_head(), nullptr);
    EXPECT_EQ(pieces.reader.value_head()->id, "other");
  }
}

}  // namespace
}  // namespace violetusher::protocol
