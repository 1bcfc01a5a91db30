/// \file
/// Encoding of pages of results.

#ifndef CARDAMOM_JOBS_RESULT_PAGE_H
#define CARDAMOM_JOBS_RESULT_PAGE_H

#include "gateway/protocols.h"

#include <span>
#include <string>

namespace cardamom {

/// Encodes the page that starts at position After of Listed. Its texts have at
/// most MaxBytes in total, but it contains at least one result if there is one.
std::string encodeResultPage(std::span<const item_result> Listed,
                             uint64_t Total, uint64_t After, size_t MaxBytes,
                             const gateway_protocols &Protocols);

} // namespace cardamom

#endif // CARDAMOM_JOBS_RESULT_PAGE_H
