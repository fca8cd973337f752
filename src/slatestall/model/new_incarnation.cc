#include "slatestall/model/new_incarnation.h"

namespace slatestall {

host_id NewIncarnation(const std::string& name) {
  host_id host{name, 0};
  while (host.incarnation == 0) {
    host.incarnation = RandomBits();
  }
  return host;
}

}  // namespace slatestall
