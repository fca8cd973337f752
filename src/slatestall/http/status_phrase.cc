#include "slatestall/http/status_phrase.h"

#include <algorithm>
#include <array>

namespace slatestall {
namespace {

struct status_phrase {
  int status;
  std::string_view phrase;
};

constexpr std::array<status_phrase, 24> kPhrases{{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {304, "Not Modified"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {410, "Gone"},
    {412, "Precondition Failed"},
    {413, "Payload Too Large"},
    {422, "Unprocessable Entity"},
    {425, "Too Early"},
    {429, "Too Many Requests"},
    {500, "Internal Server Error"},
    {501, "Not Implemented"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
    {505, "HTTP Version Not Supported"},
}};

}  // namespace

std::string_view StatusPhrase(int status) {
  const auto* found =
      std::find_if(kPhrases.begin(), kPhrases.end(),
                   [&](const status_phrase& p) { return p.status == status; });
  return found == kPhrases.end() ? "Status" : found->phrase;
}

}  // namespace slatestall
