#include <sys/mman.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>

#include "slatestall/config/problem_check.h"
#include "slatestall/config/settings.h"

namespace {

// A file in memory: a real one would make the search many times slower.
const std::string& FuzzedFile() {
  static const std::string kPath =
      "/proc/self/fd/" + std::to_string(memfd_create("settings", 0));
  return kPath;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  std::ofstream(FuzzedFile(), std::ios::binary | std::ios::trunc) << text;
  const auto loaded = slatestall::LoadSettings(
      {FuzzedFile(), {{"SLATESTALL_LISTEN", text}}, {{"log_url", text}}});
  if (!slatestall::AllSayWhere(loaded.problems, FuzzedFile())) {
    std::abort();
  }
  return 0;
}
