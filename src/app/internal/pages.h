#pragma once

#include <span>
#include <string>

#include "eelgrasspost/base/logging.h"
#include "eelgrasspost/base/settings.h"

namespace eelgrasspost::app {

/** Every numbered event that the program can log, sorted by number. */
auto AllLogEvents() -> std::span<const base::LogEvent>;

/** The table of docs/settings.md, in Markdown. */
auto RenderSettings(std::span<const base::SettingField> aFields) -> std::string;

/** The table of docs/log-events.md, in Markdown. */
auto RenderLogEvents(std::span<const base::LogEvent> aEvents) -> std::string;

} // namespace eelgrasspost::app
