// An idempotency key is claimed: of two sendings one runs, the other is given
// its answer, and the same key with another body is refused.

#include <iostream>
#include <memory>

#include "slatestall/policy/key_home.h"

namespace slatestall {
namespace {

constexpr auto kLifetime = std::chrono::hours(24);
constexpr std::uint64_t kSecret = 42;
constexpr std::uint64_t kLetter = 1001;  ///< Hash of one body.
constexpr std::uint64_t kOther = 2002;   ///< Of another.

std::string Text(const claim_answer& answer) {
  switch (answer.result) {
    case claim_result::kWon:
      return "won: run it";
    case claim_result::kHeld:
      return "held by " + answer.holder.name + ": wait for its outcome";
    case claim_result::kEnded:
      return "ended: give the stored answer \"" + answer.outcome->body + "\"";
    case claim_result::kRefused:
      break;
  }
  return "refused: " + std::string(AnswerFor(answer.refusal).title);
}

void Run() {
  const time_point now{std::chrono::hours(1)};
  const host_id entry_1{"entry-1", 7};
  const host_id entry_2{"entry-2", 9};
  key_home home(entry_1, kSecret, kLifetime, {});
  const claim_key key{"suva-central", home.Mint("suva-central", now)};
  std::cout << "entry-1 mints a key for the workspace suva-central\n";

  const claim_attempt first{key, kLetter, "request-1", entry_1};
  const claim_attempt again{key, kLetter, "request-2", entry_2};
  const claim_attempt changed{key, kOther, "request-3", entry_2};
  std::cout << "first sending, on entry-1:   " << Text(home.Claim(first, now))
            << "\n"
            << "second sending, on entry-2:  " << Text(home.Claim(again, now))
            << "\n"
            << "another body, same key:      " << Text(home.Claim(changed, now))
            << "\n";

  claim_ending ending{key, kLetter, "request-1", false, nullptr};
  ending.outcome = std::make_shared<const claim_outcome>(
      claim_outcome{200, "text/plain", "letter sent"});
  home.End(ending);
  std::cout << "the first sending ends\n"
            << "third sending, on entry-2:   " << Text(home.Claim(again, now))
            << "\n";
}

}  // namespace
}  // namespace slatestall

int main() { slatestall::Run(); }
