#include "slatestall/dispatch/repeat_reserve.h"

#include <cmath>

namespace slatestall {
namespace {

/// Needs nobody, so that a host of a small fleet can act at once. What is left
/// of it below a whole repeat is not lent either: whether it is kept or lent
/// would change with each host that joins, and count twice in a window.
constexpr double kKeptPart = 0.25;

std::uint64_t InMs(time_point now) {
  return static_cast<std::uint64_t>(
      WholeMilliseconds(now.time_since_epoch()).count());
}

}  // namespace

void reserve_share::Note(const host_census& census, time_point now) {
  const bool was_listed =
      settled_at_ != time_point::max() &&
      census.announced_at - census_.announced_at < times_.entry_age;
  if (!was_listed && census.announced_at != time_point{}) {
    settled_at_ = now + times_.Settling();
  }
  census_ = census;
}

/// A host that others' lists miss, or that misses others, as one cut from the
/// store does, would draw on a share of a fleet that has grown since.
bool reserve_share::IsCounted(time_point now) const {
  return now >= settled_at_ && now - census_.announced_at < times_.entry_age &&
         now - census_.read_at < times_.list_age;
}

double reserve_share::Whole(double reserve, time_point now) const {
  if (!IsCounted(now)) {
    return 0;
  }
  return reserve / static_cast<double>(std::max<std::size_t>(1, census_.hosts));
}

double reserve_share::Kept(double reserve, time_point now) const {
  return std::floor(kKeptPart * Whole(reserve, now));
}

std::optional<reserve_loan> reserve_share::Lend(const std::string& pool,
                                                double reserve,
                                                time_point now) {
  if (pool != pool_) {
    const duration rest =
        reserve_times::Outlasting(times_.grant + times_.window);
    if (lent_until_ != time_point{} && now < lent_until_ + rest) {
      return std::nullopt;
    }
    pool_ = pool;
    stamp_.reset();
  }
  const double whole = Whole(reserve, now);
  if (!stamp_ || whole <= 0) {
    return std::nullopt;
  }
  lent_until_ = stamped_at_ + reserve_times::Outlasting(times_.loan);
  return reserve_loan{*stamp_, (1 - kKeptPart) * whole};
}

void reserve_share::NoteStamp(const std::string& pool,
                              const reserve_stamp& stamp, time_point received) {
  if (pool == pool_) {
    stamp_ = stamp;
    stamped_at_ = received;
  }
}

reserve_answer reserve_pool::Answer(const std::string& from,
                                    const reserve_question& question,
                                    time_point now) {
  if (question.loan) {
    TakeLoan(from, *question.loan, now);
  }
  reserve_answer answer;
  answer.stamp = {life_, InMs(now)};
  for (const auto& [service, wanted] : question.wanted) {
    if (const auto granted = Grant(service, wanted, now); granted > 0) {
      answer.granted[service] = granted;
    }
  }
  return answer;
}

void reserve_pool::TakeLoan(const std::string& from, const reserve_loan& loan,
                            time_point now) {
  const auto until_ms =
      loan.stamp.at_ms + static_cast<std::uint64_t>(times_.loan.count());
  const bool is_sound = std::isfinite(loan.repeats) && loan.repeats > 0;
  if (!is_sound || loan.stamp.life != life_ || InMs(now) >= until_ms) {
    return;
  }
  auto& held = loans_[from];
  if (until_ms >= held.until_ms) {
    held = {loan.repeats, until_ms};
  }
}

double reserve_pool::Lent(time_point now) {
  std::erase_if(loans_, [now_ms = InMs(now)](const auto& loan) {
    return loan.second.until_ms <= now_ms;
  });
  double lent = 0;
  for (const auto& [host, loan] : loans_) {
    lent += loan.repeats;
  }
  return lent;
}

/// Half of what is left at a time, so that the first to ask does not take all.
std::size_t reserve_pool::Grant(const std::string& service, std::size_t wanted,
                                time_point now) {
  // What an earlier life has granted is forgotten.
  const duration in_use =
      reserve_times::Outlasting(times_.grant + times_.window);
  if (wanted == 0 || now < started_ + in_use) {
    return 0;
  }
  auto& spent = spent_[service];
  std::erase_if(spent, [now](const auto& grant) { return grant.until <= now; });
  double left = Lent(now);
  for (const auto& grant : spent) {
    left -= static_cast<double>(grant.repeats);
  }
  if (left < 1) {
    return 0;
  }
  const auto whole = static_cast<std::size_t>(left);
  const auto granted = std::min(wanted, (whole + 1) / 2);
  spent.push_back({granted, now + in_use});
  return granted;
}

}  // namespace slatestall
