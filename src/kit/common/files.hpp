// Files that others read while they are written.
#pragma once

#include <string>

namespace violetusher::kit {

/// Writes `text` beside `path` and renames it: nothing half-written is ever taken for a result.
/// False, with nothing changed, where the folder can't be written or the disk is full.
bool write_whole(const std::string& path, const std::string& text);

}  // namespace violetusher::kit
