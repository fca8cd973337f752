#include "slatestall/gateway/evacuation_list.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace slatestall {
namespace {

std::set<std::string> With(std::set<std::string> evacuated,
                           const std::vector<evacuation_record>& records) {
  for (const auto& record : records) {
    if (record.evacuated) {
      evacuated.insert(record.failure_domain);
    } else {
      evacuated.erase(record.failure_domain);
    }
  }
  return evacuated;
}

}  // namespace

bool evacuation_list::ReplaceAll(
    const std::vector<evacuation_record>& records) {
  return Set(With({}, records));
}

bool evacuation_list::Change(const std::vector<evacuation_record>& records) {
  return Set(With(evacuated_, records));
}

bool evacuation_list::AddRestored(
    const std::vector<evacuation_record>& records) {
  auto evacuated = evacuated_;
  for (const auto& record : records) {
    if (record.evacuated && !taken_back_.contains(record.failure_domain)) {
      evacuated.insert(record.failure_domain);
    }
  }
  return Set(std::move(evacuated));
}

bool evacuation_list::Set(std::set<std::string> evacuated) {
  if (evacuated == evacuated_) {
    return false;
  }
  std::set_difference(evacuated_.begin(), evacuated_.end(), evacuated.begin(),
                      evacuated.end(),
                      std::inserter(taken_back_, taken_back_.end()));
  for (const auto& domain : evacuated) {
    taken_back_.erase(domain);
  }
  evacuated_ = std::move(evacuated);
  return true;
}

}  // namespace slatestall
