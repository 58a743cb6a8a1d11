#pragma once

#include <span>
#include <string>

#include "eelgrasspost/base/logging.h"
#include "eelgrasspost/base/settings.h"

namespace eelgrasspost::app {

/** All numbered events that the program can log. */
auto AllLogEvents() -> std::span<const base::LogEvent>;

/** Renders the table of docs/settings.md in Markdown. */
auto RenderSettings(std::span<const base::SettingField> aFields) -> std::string;

/** Renders the table of docs/log-events.md in Markdown. */
auto RenderLogEvents(std::span<const base::LogEvent> aEvents) -> std::string;

} // namespace eelgrasspost::app
