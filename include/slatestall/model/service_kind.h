#pragma once

#include "slatestall/model/name_table.h"

namespace slatestall {

/// @brief What the endpoints of a service do.
/// @ingroup model
enum class service_kind { kEngine, kEncoder, kRetriever, kReranker, kPlain };

inline constexpr name_table<service_kind, 5> kServiceKindNames{{
    {service_kind::kEngine, "engine"},
    {service_kind::kEncoder, "encoder"},
    {service_kind::kRetriever, "retriever"},
    {service_kind::kReranker, "reranker"},
    {service_kind::kPlain, "plain"},
}};

}  // namespace slatestall
