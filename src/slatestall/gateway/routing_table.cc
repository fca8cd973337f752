#include "slatestall/gateway/routing_table.h"

#include <algorithm>

#include "slatestall/http/ascii_case.h"

namespace slatestall {
namespace {

/// Neither hosts nor paths hold a line break.
std::string IndexKey(std::string_view host, std::string_view prefix) {
  std::string key(host);
  key += '\n';
  key += prefix;
  return key;
}

}  // namespace

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string RouteHost(std::string_view header) {
  const auto colon = header.rfind(':');
  const bool has_port = colon != std::string_view::npos &&
                        header.find(']', colon) == std::string_view::npos;
  std::string host(has_port ? header.substr(0, colon) : header);
  std::transform(host.begin(), host.end(), host.begin(), AsciiLower);
  return host;
}

void routing_table::Index() {
  by_host_and_prefix_.clear();
  for (std::size_t i = 0; i < routes.size(); ++i) {
    by_host_and_prefix_.emplace(IndexKey(routes[i].host, routes[i].path_prefix),
                                i);
  }
}

const route* routing_table::Find(std::string_view host,
                                 std::string_view path) const {
  // Prefixes end with a slash, so that only these places can match.
  auto slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto found =
        by_host_and_prefix_.find(IndexKey(host, path.substr(0, slash + 1)));
    if (found != by_host_and_prefix_.end()) {
      return &routes[found->second];
    }
    if (slash == 0) {
      break;
    }
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

const workspace_rule* routing_table::HolderOf(const std::string& key) const {
  const auto found = holders.find(key);
  return found == holders.end() ? nullptr : &found->second;
}

const service_rule* routing_table::Service(const std::string& name) const {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : &found->second;
}

}  // namespace slatestall
