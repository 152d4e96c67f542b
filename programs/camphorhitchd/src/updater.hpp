/// \file
/// Compare-and-swap updates of one document, with lost answers resolved by reading again.
#pragma once

#include "core/result.hpp"
#include "mirror.hpp"
#include "ports/key_value.hpp"

#include <functional>
#include <optional>
#include <string>

namespace camphorhitch::daemon
{

/// What a change makes of a document: the new text, or nothing to leave it, or an error.
using change_result = core::result<std::optional<std::string>>;

/// Computes the new text from the current one (nullptr: the document does not exist). It may be
/// called several times, so it must give a repeat no second effect (by a command's id).
using change_function = std::function<change_result(const std::string* current)>;

/// Told once how the update ended. An error of code unknown_effect means the store gave no answer
/// that tells; nothing else may be claimed then.
using update_callback = std::function<void(core::result<core::done>)>;

struct updater
{
    mirror& documents;
    const ports::key_value& store;
    const ports::scheduler& scheduler;
    int most_tries = 8;
};

/// Starts an update of \p key. \p lease is attached to the key when not 0.
void update_document(const updater& u,
    std::string key,
    change_function change,
    update_callback finished,
    ports::lease_id lease = 0);

} // namespace camphorhitch::daemon
