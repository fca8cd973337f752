#pragma once

#include "slatestall/config/field_table.h"
#include "slatestall/config/settings.h"

namespace slatestall {

const field_table<settings>& SettingsFields();

}  // namespace slatestall
