#pragma once

namespace weldsail {

/// Sets the allocator and the loop's buffers so that a process keeps little memory that it doesn't use.
void keep_memory_small();

/// Ends the process. The log library waits for threads of its own when it is unloaded; that is left out, except where
/// a sanitizer has its say at the end.
[[noreturn]] void leave(int status);

}  // namespace weldsail
