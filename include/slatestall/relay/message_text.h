#pragma once

#include <string>
#include <string_view>

#include "slatestall/http/http_header.h"

namespace slatestall {

/// @brief Head of a request, ready to be written.
/// @ingroup relay
std::string RequestHeadText(std::string_view method, std::string_view target,
                            const http_headers& headers);

/// @brief Head of an answer, ready to be written.
std::string AnswerHeadText(int status, const http_headers& headers);

}  // namespace slatestall
