#include <cstdint>
#include <cstdlib>

#include "slatestall/config/pipeline_file.h"
#include "slatestall/config/problem_check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  const auto parsed = slatestall::ParseConfiguration(text, "f");
  if (!slatestall::AllSayWhere(parsed.problems, "f")) {
    std::abort();
  }
  return 0;
}
