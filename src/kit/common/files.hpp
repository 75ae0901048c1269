// Atomic replacement of files that other processes may be reading.
#pragma once

#include <string>

namespace violetusher::kit {

/// Writes `text` to a temporary file beside `path` and renames it, so that readers never see a
/// partial file. False, with `path` unchanged, where the folder is not writable or the disk is
/// full.
bool write_whole(const std::string& path, const std::string& text);

}  // namespace violetusher::kit
