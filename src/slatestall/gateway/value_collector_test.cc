#include "slatestall/gateway/value_collector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <utility>

#include "slatestall/model/ids.h"

namespace slatestall {
namespace {

std::string TextOf(std::uint64_t seed) {
  std::string made;
  for (std::uint64_t i = 0; i < 20'000; ++i) {
    made += StableHashText(std::to_string(seed), i);
  }
  return made;
}

large_value_ptr ValueOf(std::string text) {
  return std::make_shared<const large_value>(std::move(text));
}

class value_collector_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(value_collector_test);
  CPPUNIT_TEST(FewPiecesAreUnderWayAtATime);
  CPPUNIT_TEST(WhatArrivedIsNotReadAgain);
  CPPUNIT_TEST(OneValueIsReadOnce);
  CPPUNIT_TEST(AKnownPieceOfTheSameDigestIsReadAnew);
  CPPUNIT_TEST(PiecesThatAreNotWhatWasNamedEndTheRead);
  CPPUNIT_TEST_SUITE_END();

  struct question {
    std::string host;
    std::vector<std::uint64_t> digests;
    value_collector::pieces_hook done;
  };

  void Collect(const large_value_ptr& value, large_value_ptr known = nullptr,
               const std::string& host = "h2") {
    collector_.Collect(
        host, value->Outline(), std::move(known),
        [this](const large_value_ptr& got) { got_.push_back(got); });
  }
  void Answer(const large_value_ptr& value) {
    auto asked = std::move(questions_.front());
    questions_.pop_front();
    std::vector<std::string> pieces;
    for (const auto digest : asked.digests) {
      const auto piece =
          value == nullptr ? std::string_view() : value->Piece(digest);
      pieces.push_back(piece.empty() ? std::string() : PackPiece(piece));
      read_ += piece.size();
    }
    asked.done(std::move(pieces));
  }
  void AnswerAll(const large_value_ptr& value) {
    while (!questions_.empty()) {
      Answer(value);
    }
  }

  // A status waited behind all of a configuration.
  void FewPiecesAreUnderWayAtATime() {
    constexpr std::size_t kMost = std::size_t{64} << 10U;
    const auto value = ValueOf(TextOf(1));
    Collect(value);
    while (!questions_.empty()) {
      std::size_t under_way = 0;
      for (const auto& asked : questions_) {
        for (const auto digest : asked.digests) {
          under_way += value->Piece(digest).size();
        }
      }
      CPPUNIT_ASSERT(under_way <= kMost);
      Answer(value);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, got_.size());
    CPPUNIT_ASSERT(got_[0]->Bytes() == value->Bytes());
    CPPUNIT_ASSERT_EQUAL(value->Bytes().size(), read_);
  }

  // Each host that was lost on the way made the next one send all once more.
  void WhatArrivedIsNotReadAgain() {
    const auto value = ValueOf(TextOf(1));
    Collect(value);
    for (int i = 0; i < 4; ++i) {
      Answer(value);
    }
    AnswerAll(nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, got_.size());
    CPPUNIT_ASSERT(got_[0] == nullptr);
    Collect(value, nullptr, "h3");
    CPPUNIT_ASSERT_EQUAL(std::string("h3"), questions_.front().host);
    AnswerAll(value);
    CPPUNIT_ASSERT(got_.back()->Bytes() == value->Bytes());
    CPPUNIT_ASSERT_EQUAL(value->Bytes().size(), read_);
  }

  void OneValueIsReadOnce() {
    const auto value = ValueOf(TextOf(1));
    Collect(value);
    Collect(value, nullptr, "h3");
    AnswerAll(value);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, got_.size());
    CPPUNIT_ASSERT(got_[1]->Bytes() == value->Bytes());
    CPPUNIT_ASSERT_EQUAL(value->Bytes().size(), read_);
  }

  // A host would have gone without the value for good.
  void AKnownPieceOfTheSameDigestIsReadAnew() {
    const auto value = ValueOf(TextOf(1));
    auto outline = value->Outline();
    const auto known = ValueOf(TextOf(2));
    // As if both values had a piece of that digest and length.
    outline.pieces[0] = known->Outline().pieces[0];
    collector_.Collect(
        "h2", outline, known,
        [this](const large_value_ptr& got) { got_.push_back(got); });
    AnswerAll(value);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, got_.size());
    CPPUNIT_ASSERT(got_[0] == nullptr);
    CPPUNIT_ASSERT(read_ > value->Bytes().size());
  }

  void PiecesThatAreNotWhatWasNamedEndTheRead() {
    const auto value = ValueOf(TextOf(1));
    Collect(value);
    const auto asked = std::move(questions_.front());
    questions_.pop_front();
    asked.done(std::vector<std::string>(asked.digests.size(), "other"));
    AnswerAll(value);
    CPPUNIT_ASSERT(got_.at(0) == nullptr);
    CPPUNIT_ASSERT(read_ < value->Bytes().size());
  }

  std::deque<question> questions_;
  std::vector<large_value_ptr> got_;
  std::size_t read_ = 0;
  value_collector collector_{[this](const std::string& host,
                                    const std::vector<std::uint64_t>& digests,
                                    value_collector::pieces_hook done) {
    questions_.push_back({host, digests, std::move(done)});
  }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(value_collector_test);

}  // namespace
}  // namespace slatestall
