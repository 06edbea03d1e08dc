// The linker gives this program's calls of SHA256_Update to __wrap_SHA256_Update (`--wrap` in CMakeLists.txt).
#include "unit/workcount.hpp"

#include <cstddef>

extern "C" {
int __real_SHA256_Update(void* context, const void* bytes, std::size_t length);
int __wrap_SHA256_Update(void* context, const void* bytes, std::size_t length);
/// Of AddressSanitizer; null in a build without it.
__attribute__((weak)) int __sanitizer_install_malloc_and_free_hooks(void (*allocated)(const volatile void* place,
                                                                                      std::size_t length),
                                                                    void (*freed)(const volatile void* place));
}

namespace weldsail {
namespace {

WorkCount total;

void count_allocation(const volatile void* /*place*/, std::size_t length) { total.allocated += length; }
void ignore_release(const volatile void* /*place*/) {}

bool count_allocations() {
  return __sanitizer_install_malloc_and_free_hooks != nullptr &&
         __sanitizer_install_malloc_and_free_hooks(count_allocation, ignore_release) != 0;
}

}  // namespace

WorkCount work_so_far() {
  static const bool installed = count_allocations();
  static_cast<void>(installed);
  return total;
}

}  // namespace weldsail

int __wrap_SHA256_Update(void* context, const void* bytes, std::size_t length) {
  weldsail::total.hashed += length;
  return __real_SHA256_Update(context, bytes, length);
}
