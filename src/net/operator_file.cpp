#include "operator_file.hpp"

#include <algorithm>
#include <cerrno>
#include <filesystem>

namespace violetusher::net {
namespace {

namespace fs = std::filesystem;
namespace config = core::config;

std::string normalized(const fs::path& path) { return path.lexically_normal(); }

/// The path to read `path` from: the staged file, if it is that.
const std::string& source_path(const std::string& path, const StagedFile& staged) {
  return !staged.path.empty() && normalized(staged.path) == path ? staged.staged_path : path;
}

}  // namespace

std::string read_regular_file(const std::string& path, std::string& text, CallStatus* status) {
  CallStatus read = read_whole_file(path, config::kMaxTotalBytes, text);
  if (status) *status = read;
  switch (read.error) {
    case 0:
      return "";
    case EISDIR:
      return "is a directory";
    case EINVAL:
      return "not a regular file";
    case EFBIG:
      return "larger than 16 MiB";
    default:
      return read.reason();
  }
}

core::config::Compiled compile_file(const std::string& path, std::string& error,
                                    const StagedFile& staged, CallStatus* read_status) {
  auto read = [&](const std::string& from, std::string& text) {
    CallStatus status;
    std::string error = read_regular_file(from, text, &status);
    if (read_status && status.is_transient()) *read_status = status;
    return error;
  };
  auto load = [&](const std::string& from, const std::string& name) {
    config::Loaded loaded;
    loaded.name = normalized(fs::path(name).is_absolute() ? fs::path(name)
                                                          : fs::path(from).parent_path() / name);
    loaded.error = read(source_path(loaded.name, staged), loaded.text);
    return loaded;
  };
  std::string text;
  error = read(source_path(normalized(path), staged), text);
  if (!error.empty()) {
    error = path + ": " + error;
    return {};
  }
  return config::compile(normalized(path), text, load);
}

core::config::Model load_operator_file(const std::string& path, const Config* settings,
                                       const StagedFile& staged) {
  std::string error;
  CallStatus read_status;
  config::Compiled compiled = compile_file(path, error, staged, &read_status);
  if (!read_status.done())
    throw UnreadableError(
        path + " or a file that it includes can't be read: " + read_status.reason(), true);
  if (!error.empty()) throw ConfigError(error);
  if (!compiled.diagnostics.none()) {
    std::string all;
    for (const auto& d : compiled.diagnostics.list()) all += compiled.sources.show(d);
    throw ConfigError(all);
  }
  const config::Model& m = compiled.model;
  if (m.listeners.size() > kMaxListeners)
    throw ConfigError(path + ": more than " + std::to_string(kMaxListeners) + " listeners");
  if (!settings) return std::move(compiled.model);
  const auto& classes = settings->settings.classes;
  for (const auto& [name, c] : m.classes) {
    auto it =
        std::find_if(classes.begin(), classes.end(), [&](const auto& k) { return k.name == name; });
    if (it == classes.end())
      throw ConfigError(path + ": class '" + name + "' is not defined in the settings");
    if (c.keyed != (it->effect == violetusher::Effect::Keyed))
      throw ConfigError(path + ": class '" + name + "': 'keyed' differs from the settings");
    if (c.attempts > settings->settings.max_attempts)
      throw ConfigError(path + ": class '" + name +
                        "' has more attempts than the settings allow (" +
                        std::to_string(settings->settings.max_attempts) + ")");
  }
  const auto& tenants = settings->settings.tenants;
  for (const auto& [name, t] : m.tenants)
    if (!tenants.empty() &&
        std::none_of(tenants.begin(), tenants.end(), [&](const auto& k) { return k.name == name; }))
      throw ConfigError(path + ": tenant '" + name + "' is not defined in the settings");
  return std::move(compiled.model);
}

}  // namespace violetusher::net
