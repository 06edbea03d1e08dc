#!/usr/bin/env bash
# Fails when a package that the build of deploy/system.toml uses isn't named in its `packages`: the owners of all headers
# that the sources include, of what CMake's search calls found (the cache of the build in $2), and of the build's tools.
cd "$1" || exit 1
cache="$2/CMakeCache.txt"
named=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '",')
# What g++ itself is made of.
toolchain='g\+\+(-[0-9]+)?|gcc(-[0-9]+)?|cpp(-[0-9]+)?|binutils.*|libc6-dev|libstdc\+\+-[0-9]+-dev|linux-libc-dev|libgcc-[0-9]+-dev'
missing=0

# require_owner PATH WHY: the package that owns the file must be named.
require_owner() {
  local owner
  owner=$(dpkg-query -S "$1" 2>/dev/null || dpkg-query -S "$(realpath "$1")" 2>/dev/null)
  owner=${owner%%:*}
  if [ -z "$owner" ]; then echo "$1 ($2): no package owns it"; missing=1; return; fi
  if [[ "$owner" =~ ^($toolchain)$ ]]; then return; fi
  for package in $named; do [ "$package" = "$owner" ] && return; done
  echo "$1 ($2): package $owner isn't named in deploy/system.toml"
  missing=1
}

for header in $(grep -rhoE '^#include <[^>]+>' src platform | sed 's/.*<\(.*\)>/\1/' | sort -u); do
  found=""
  for folder in /usr/include /usr/include/"$(gcc -print-multiarch)" /usr/include/sigc++-3.0 /usr/include/c++/*; do
    if [ -f "$folder/$header" ]; then found="$folder/$header"; break; fi
  done
  if [ -z "$found" ]; then echo "<$header>: found nowhere"; missing=1; continue; fi
  require_owner "$found" "included"
done

while IFS='=' read -r name path; do
  require_owner "$path" "${name%%:*}"
done < <(grep -E '^(Protobuf_[A-Z_]*(LIBRARY|EXECUTABLE)[A-Z_]*|PROTOBUF_LITE_STATIC|ZLIB_LIBRARY[A-Z_]*|PKG_CONFIG_EXECUTABLE|HTTP_PARSER_LIBRARY|pkgcfg_lib_[^:]*):FILEPATH=/' "$cache")

for module in $(sed -n 's/^pkg_check_modules(.* \([^ )]*\))$/\1/p' CMakeLists.txt); do
  require_owner "$(pkg-config --variable=pcfiledir "$module")/$module.pc" "pkg_check_modules"
done
for tool in c++ cmake; do require_owner "$(command -v "$tool")" "build"; done
grep -q 'generator\|-G' <(grep '^build' deploy/system.toml) || case " $named " in *" make "*) ;; *) echo "make isn't named"; missing=1 ;; esac
exit $missing
