#include "slatestall/commands/apply.h"

#include <algorithm>

#include "slatestall/config/pipeline_file.h"
#include "slatestall/config/problem_json.h"

namespace slatestall {
namespace {

using nlohmann::json;

constexpr milliseconds kPollEvery{250};
// The host itself waits for the log and reads back a lost answer.
constexpr milliseconds kPublishTimeout{20000};

class apply_run {
 public:
  apply_run(const apply_request& request, const apply_hooks& hooks)
      : request_(request), hooks_(hooks) {}

  apply_result Run() {
    const parsed_configuration parsed =
        ParseConfiguration(request_.source, request_.file);
    if (!parsed.Ok()) {
      return Invalid(parsed.problems);
    }
    std::string detail;
    const auto before = AskSystem(hooks_.send, request_.host, detail);
    if (!before) {
      return Ended(apply_outcome::kUnreachable, 0,
                   request_.host + ": " + detail + "; nothing was published");
    }
    // A file already in force needs no new revision: so `apply` can be run
    // again after an unknown outcome and does no harm. An asked host that is
    // behind proves nothing, for others may have gone on to another file.
    const in_force current = InForce();
    if (current.is_this_file && current.revision >= NewestRevision(*before)) {
      return WaitForAll(current.revision);
    }
    base_ = request_.base.value_or(before->revision);
    return Publish();
  }

 private:
  static apply_result Ended(apply_outcome outcome, config_revision revision,
                            const std::string& detail) {
    apply_result result;
    result.outcome = outcome;
    result.revision = revision;
    result.detail = detail;
    return result;
  }

  static apply_result Invalid(const std::vector<config_problem>& problems) {
    apply_result result = Ended(apply_outcome::kInvalid, 0,
                                "the file has problems; nothing was published");
    result.problems = problems;
    return result;
  }

  admin_answer Get(const std::string& path) const {
    admin_call call;
    call.host = request_.host;
    call.path = path;
    return SendOne(hooks_.send, call);
  }

  struct in_force {
    config_revision revision = 0;  ///< 0: none, or the host did not say.
    bool is_this_file = false;     ///< Exactly this text.
  };

  // What the asked host obeys.
  in_force InForce() const {
    const admin_answer answer = Get("/v1/admin/config");
    if (!answer.answered || answer.status != 200) {
      return {};
    }
    return {answer.body.value("revision", config_revision{0}),
            answer.body.value("source", "") == request_.source};
  }

  apply_result Publish() {
    admin_call call;
    call.method = "POST";
    call.host = request_.host;
    call.path = "/v1/admin/config";
    call.body = json{{"base", base_},
                     {"source", request_.source},
                     {"file", request_.file}}
                    .dump();
    call.timeout = kPublishTimeout;
    hooks_.progress("publishing on revision " + std::to_string(base_));
    return Judge(SendOne(hooks_.send, call));
  }

  apply_result Judge(const admin_answer& answer) {
    if (!answer.answered) {
      return answer.may_have_been_sent
                 ? Settle(answer.detail)
                 : Ended(apply_outcome::kUnreachable, 0,
                         answer.detail + "; nothing was published");
    }
    const std::string outcome = answer.body.value("outcome", "");
    const auto revision = answer.body.value("revision", config_revision{0});
    if (outcome == "accepted" && answer.status == 200) {
      return WaitForAll(revision);
    }
    if (outcome == "refused") {
      return Refused(revision);
    }
    if (outcome == "invalid") {
      return Invalid(ProblemsFromJson(answer.body.at("problems")));
    }
    const bool is_clear_no =
        outcome == "not-published" ||
        (outcome.empty() && answer.status >= 400 && answer.status < 500);
    if (is_clear_no) {
      return Ended(apply_outcome::kNotPublished, 0,
                   DetailOf(answer) + "; nothing was published, apply again");
    }
    return Settle(DetailOf(answer));
  }

  // The winner may be this very file: an earlier apply ended as unknown, and
  // its record came to light only while this one was under way.
  apply_result Refused(config_revision winner) {
    const in_force current = InForce();
    if (current.is_this_file && current.revision >= winner) {
      return WaitForAll(current.revision);
    }
    return Ended(apply_outcome::kRefused, winner,
                 "this file was made from revision " + std::to_string(base_) +
                     ", but revision " + std::to_string(winner) +
                     " won; nothing changed. Take its changes into your file "
                     "and apply again");
  }

  // The answer was lost or the host does not know: the file may be in the log.
  // What is in force tells, as soon as the log is read again: this very text,
  // and it was published; the same revision as before until the wait is over,
  // and it stays unknown, for a late record can still appear.
  apply_result Settle(const std::string& detail) {
    const time_point end = hooks_.now() + request_.wait;
    while (hooks_.now() < end) {
      hooks_.progress("no clear answer (" + detail + "); reading back");
      const in_force current = InForce();
      if (current.is_this_file && current.revision > base_) {
        return WaitForAll(current.revision);
      }
      if (current.revision > base_) {
        return Overtaken(detail, current.revision);
      }
      hooks_.sleep(kPollEvery);
    }
    return Ended(
        apply_outcome::kUnknown, 0,
        detail +
            "; the file may be in the log and may still come into force. "
            "Run the same apply again, with --base " +
            std::to_string(base_) +
            ": it finds the file in force, publishes it, or is refused, and "
            "can never put it in force twice");
  }

  // Another revision is in force since. Either it came first, and this file's
  // record is refused for its base, or this file was in force before it; the
  // text in force cannot tell which. Waiting longer would not either.
  apply_result Overtaken(const std::string& detail,
                         config_revision winner) const {
    return Ended(apply_outcome::kUnknown, winner,
                 detail + "; revision " + std::to_string(winner) +
                     ", another file, is in force now. This file is not, and "
                     "will not come into force by itself; whether it was for "
                     "a moment is not known. Take the changes of revision " +
                     std::to_string(winner) +
                     " into your file and apply again");
  }

  apply_result WaitForAll(config_revision revision) {
    const time_point end = hooks_.now() + request_.wait;
    std::vector<host_view> missing;
    std::string detail;
    while (true) {
      const auto view = AskSystem(hooks_.send, request_.host, detail);
      if (view) {
        missing = HostsWithout(*view, revision);
        if (missing.empty()) {
          return Ended(apply_outcome::kInForce, revision,
                       InForceText(*view, revision));
        }
        hooks_.progress("revision " + std::to_string(revision) +
                        " accepted; waiting for " +
                        std::to_string(missing.size()) + " of " +
                        std::to_string(view->hosts.size()) + " hosts");
      }
      if (hooks_.now() >= end) {
        return NotEverywhere(revision, missing, view ? "" : detail);
      }
      hooks_.sleep(kPollEvery);
    }
  }

  static std::vector<host_view> HostsWithout(const system_view& view,
                                             config_revision revision) {
    std::vector<host_view> missing;
    for (const host_view& host : view.hosts) {
      if (host.Gone()) {
        continue;
      }
      if (!host.reachable || host.revision < revision) {
        missing.push_back(host);
      }
    }
    return missing;
  }

  static std::string InForceText(const system_view& view,
                                 config_revision revision) {
    const config_revision newest = NewestRevision(view);
    const auto hosts = static_cast<std::size_t>(
        std::count_if(view.hosts.begin(), view.hosts.end(),
                      [](const host_view& host) { return !host.Gone(); }));
    return "in force on " + std::to_string(hosts) +
           (hosts == 1 ? " host" : " hosts") +
           (newest > revision
                ? ", and followed by revision " + std::to_string(newest)
                : "");
  }

  static apply_result NotEverywhere(config_revision revision,
                                    const std::vector<host_view>& missing,
                                    const std::string& detail) {
    std::string text = "accepted as revision " + std::to_string(revision);
    if (!detail.empty()) {
      text += ", but the host no longer answers (" + detail + ")";
    }
    for (const host_view& host : missing) {
      text += host.reachable ? "; " + host.name + " still has revision " +
                                   std::to_string(host.revision)
                             : "; " + host.name + " is not reachable";
    }
    apply_result result =
        Ended(apply_outcome::kUnknown, revision,
              text +
                  ". It is not lost: no host goes back to an earlier one. "
                  "Watch `slatestall status`; a host that stays behind should "
                  "be drained or replaced");
    result.waiting_for = missing;
    return result;
  }

  const apply_request& request_;
  const apply_hooks& hooks_;
  config_revision base_ = 0;
};

}  // namespace

apply_result Apply(const apply_request& request, const apply_hooks& hooks) {
  return apply_run(request, hooks).Run();
}

}  // namespace slatestall
