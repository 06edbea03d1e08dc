#include "shell/process.hpp"

#include <h2o.h>
#include <malloc.h>

#include <cstdio>
#include <cstdlib>

namespace weldsail {
namespace {

constexpr int arenas = 1;
constexpr int block_bytes = 128 << 10;
constexpr int trim_bytes = 128 << 10;
constexpr int pad_bytes = 16 << 10;
constexpr std::size_t input_bytes = 4096;

}  // namespace

void keep_memory_small() {
  mallopt(M_ARENA_MAX, arenas);
  // Set by hand, the allocator doesn't raise it after the first large block.
  mallopt(M_MMAP_THRESHOLD, block_bytes);
  mallopt(M_TRIM_THRESHOLD, trim_bytes);
  mallopt(M_TOP_PAD, pad_bytes);
  h2o_socket_buffer_prototype._initial_buf.capacity = input_bytes;
}

void leave(int status) {
  std::fflush(nullptr);
#ifdef __SANITIZE_ADDRESS__
  std::exit(status);
#else
  std::_Exit(status);
#endif
}

}  // namespace weldsail
