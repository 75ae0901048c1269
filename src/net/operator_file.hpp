// Operator files from disk: read with bounds, compiled, and held against what this daemon serves.
#pragma once

#include <string>

#include "config.hpp"
#include "core/config/model.hpp"
#include "file_io.hpp"

namespace violetusher::net {

/// Listeners of one file: descriptors are set aside for so many.
inline constexpr std::size_t kMaxListeners = 8;

/// The whole of an ordinary file of at most `core::config::kMostBytes`; returns what is wrong,
/// empty where nothing is. Never waits: a fifo is turned away.
std::string read_regular_file(const std::string& path, std::string& text,
                              CallStatus* status = nullptr);

/// A file that is not yet where it is to be: read from `from` wherever `path` is named.
struct StagedFile {
  std::string path, staged_path;
};

/// Reads and compiles a file and what it includes. Where it can't be read, `error` says so;
/// `unread` where it or what it includes can't be read for now.
core::config::Compiled compile_file(const std::string& path, std::string& error,
                                    const StagedFile& staged = {},
                                    CallStatus* read_status = nullptr);

/// The model of a file that this daemon can serve with these settings. Throws ConfigError with all
/// messages, each with file, line and column; UnreadableError where a file can't be read for now.
/// `config` may be null: then only the file is checked.
core::config::Model load_operator_file(const std::string& path, const Config* config,
                                       const StagedFile& staged = {});

}  // namespace violetusher::net
