/// \file
/// Compare-and-swap updates of one document. After a lost answer the update reads the document to
/// find out whether the write took effect.
#pragma once

#include "core/result.hpp"
#include "mirror.hpp"
#include "ports/key_value.hpp"

#include <functional>
#include <optional>
#include <string>

namespace camphorhitch::daemon
{

/// Result of a change function: the new text, nothing to leave the document unchanged, or an error.
using change_result = core::result<std::optional<std::string>>;

/// Computes the new text from the current one (nullptr: the document does not exist). The function
/// may be called several times, so it must ensure that a repeated command takes effect once (by the
/// command's id).
using change_function = std::function<change_result(const std::string* current)>;

/// Called once with the result of the update. The error code unknown_effect means that the store
/// gave no answer from which the effect is certain; the caller must then not report another result.
using update_callback = std::function<void(core::result<core::done>)>;

/// What an update needs: the mirror, the store, a scheduler, and the maximum number of attempts.
struct updater
{
    mirror& documents;
    const ports::key_value& store;
    const ports::scheduler& scheduler;
    int max_attempts = 8;
};

/// Starts an update of \p key. \p lease is attached to the key when not 0.
void update_document(const updater& u,
    std::string key,
    change_function change,
    update_callback finished,
    ports::lease_id lease = 0);

} // namespace camphorhitch::daemon
