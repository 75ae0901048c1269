// Operator files on disk: reads them with size limits, compiles them, and checks them against the
// settings of this daemon.
#pragma once

#include <string>

#include "config.hpp"
#include "core/config/model.hpp"
#include "file_io.hpp"

namespace violetusher::net {

/// Listeners in one file; descriptors are reserved for this many.
inline constexpr std::size_t kMaxListeners = 8;

/// Reads a regular file of at most `core::config::kMaxTotalBytes`. Returns the error, or an empty
/// string. Never blocks: a FIFO is an error.
std::string read_regular_file(const std::string& path, std::string& text,
                              CallStatus* status = nullptr);

/// A new version of a file before it is moved into place: read from `staged_path` wherever `path`
/// is named.
struct StagedFile {
  std::string path, staged_path;
};

/// Reads and compiles a file and its includes. `error` is set if the file can't be read;
/// `read_status`, if the file or an include can't be read because of a transient failure.
core::config::Compiled compile_file(const std::string& path, std::string& error,
                                    const StagedFile& staged = {},
                                    CallStatus* read_status = nullptr);

/// The model of a file that fits the settings of this daemon. Throws ConfigError with all messages,
/// each with file, line and column, and UnreadableError if a file can't be read because of a
/// transient failure. With a null `config` only the file itself is checked.
core::config::Model load_operator_file(const std::string& path, const Config* config,
                                       const StagedFile& staged = {});

}  // namespace violetusher::net
