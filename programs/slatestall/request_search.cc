#include "slatestall/request_search.h"

#include <utility>

#include "slatestall/system_view.h"

namespace slatestall {
namespace {

constexpr int kFound = 200;
constexpr int kNotFound = 404;

admin_call CallOf(const std::string& url, const std::string& request) {
  admin_call call;
  call.host = url;
  call.path = "/v1/admin/explain/" + request;
  return call;
}

std::string Joined(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : ", ") + word;
  }
  return text;
}

class search_run {
 public:
  search_run(const send_admin_calls& send, std::string request)
      : send_(send), request_(std::move(request)) {}

  request_search Run(const std::string& first) {
    Take(first, SendOne(send_, CallOf(first, request_)));
    if (!search_.trace) {
      AskOthers(first);
    }
    return std::move(search_);
  }

 private:
  // The name of the host that served it begins the id, but all are asked: a
  // name may have gone to another address since, and asking costs little.
  void AskOthers(const std::string& first) {
    std::string detail;
    const auto view = AskSystem(send_, first, detail);
    if (!view) {
      search_.not_asked.push_back("the other hosts: " + first +
                                  " does not say which they are: " + detail);
      return;
    }
    std::vector<admin_call> calls;
    std::vector<std::string> names;
    for (const host_view& host : view->hosts) {
      if (host.name == view->asked_host) {
        continue;
      }
      if (host.Gone()) {
        search_.not_asked.push_back(host.name +
                                    ": gone after a drain, its traces with it");
      } else if (!host.reachable) {
        search_.not_asked.push_back(host.name +
                                    ": does not answer the asked host");
      } else if (host.http_address.empty()) {
        search_.not_asked.push_back(
            host.name +
            ": its address for operators is not known; ask it itself by "
            "--host");
      } else {
        calls.push_back(CallOf("http://" + host.http_address, request_));
        names.push_back(host.name);
      }
    }
    if (calls.empty()) {
      return;
    }
    const std::vector<admin_answer> answers = send_(calls);
    for (std::size_t i = 0; i < answers.size(); ++i) {
      Take(names[i], answers[i]);
    }
  }

  void Take(const std::string& host, const admin_answer& answer) {
    if (answer.answered && answer.status == kFound) {
      search_.trace = answer.body;
      search_.host = host;
    } else if (answer.answered && answer.status == kNotFound) {
      search_.asked.push_back(host);
    } else {
      search_.not_asked.push_back(host + ": " + DetailOf(answer));
    }
  }

  const send_admin_calls& send_;
  const std::string request_;
  request_search search_;
};

}  // namespace

request_search FindRequest(const send_admin_calls& send,
                           const std::string& host,
                           const std::string& request) {
  return search_run(send, request).Run(host);
}

std::vector<std::string> DescribeMiss(const request_search& search,
                                      const std::string& request) {
  std::vector<std::string> lines;
  if (!search.asked.empty()) {
    lines.push_back(request + ": not kept by " + Joined(search.asked) +
                    "; a host keeps its last requests, in memory only");
  }
  for (const std::string& host : search.not_asked) {
    const std::string name = host.substr(0, host.find(':'));
    const bool served = request.rfind(name + ".", 0) == 0;
    lines.push_back("not asked: " + host +
                    (served ? " (the request's id names this host)" : ""));
  }
  return lines;
}

}  // namespace slatestall
