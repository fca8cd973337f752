#include "slatestall/host_reports.h"

#include <map>
#include <set>
#include <stdexcept>

#include "slatestall/report/report_json.h"
#include "slatestall/system_view.h"

namespace slatestall {
namespace {

constexpr const char* kScheme = "http://";

// Hosts by name with the URL to ask them at; empty: none is known.
using host_urls = std::map<std::string, std::string>;

class report_collection {
 public:
  explicit report_collection(const send_admin_calls& send) : send_(send) {}

  host_reports Collect(const std::vector<std::string>& hosts) {
    for (const std::string& host : hosts) {
      AddSystemOf(host);
    }
    AskAll();
    return std::move(reports_);
  }

 private:
  void AddSystemOf(const std::string& url) {
    std::string detail;
    const auto view = AskSystem(send_, url, detail);
    if (!view) {
      reports_.missing.push_back(url + ": " + detail);
      return;
    }
    for (const host_view& host : view->hosts) {
      std::string& known = urls_[host.name];
      if (known.empty() && !host.http_address.empty()) {
        known = kScheme + host.http_address;
      }
    }
    urls_[view->asked_host] = url;
  }

  void AskAll() {
    std::vector<admin_call> calls;
    std::vector<std::string> names;
    for (const auto& [name, url] : urls_) {
      if (url.empty()) {
        reports_.missing.push_back(
            name + ": its address for callers is not known; give it by --host");
        continue;
      }
      admin_call call;
      call.host = url;
      call.path = "/v1/admin/report";
      calls.push_back(call);
      names.push_back(name);
    }
    if (calls.empty()) {
      return;
    }
    const std::vector<admin_answer> answers = send_(calls);
    for (std::size_t i = 0; i < answers.size(); ++i) {
      Take(names[i], answers[i]);
    }
  }

  void Take(const std::string& name, const admin_answer& answer) {
    if (!answer.answered || answer.status != 200) {
      reports_.missing.push_back(name + ": " + DetailOf(answer));
      return;
    }
    try {
      reports_.merged.Merge(ReportFromJson(answer.body));
      reports_.asked.push_back(name);
    } catch (const std::invalid_argument& error) {
      reports_.missing.push_back(name + ": " + error.what());
    }
  }

  const send_admin_calls& send_;
  host_urls urls_;
  host_reports reports_;
};

}  // namespace

host_reports CollectReports(const send_admin_calls& send,
                            const std::vector<std::string>& hosts) {
  return report_collection(send).Collect(hosts);
}

}  // namespace slatestall
