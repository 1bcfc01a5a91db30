/// \file
/// Encoding of pages of results.

#ifndef CARDAMOM_JOBS_RESULT_PAGE_H
#define CARDAMOM_JOBS_RESULT_PAGE_H

#include "gateway/protocols.h"

#include <span>
#include <string>

namespace cardamom {

/// Encodes the results that start at position After: as many as have texts of
/// at most MaxBytes in total, but at least one if there is one.
std::string encodeResultPage(std::span<const item_result> Listed,
                             uint64_t Total, uint64_t After, size_t MaxBytes,
                             const gateway_protocols &Protocols);

} // namespace cardamom

#endif // CARDAMOM_JOBS_RESULT_PAGE_H
