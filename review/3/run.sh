#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program="review/build/case-$(basename "$folder")"
for needed in target/wscp target/wsdp "$program"; do
  [ -x "$needed" ] || { echo "$needed is missing"; exit 2; }
done
timeout -k 2 110 "$program" "$folder"
result=$?
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac
