#!/usr/bin/env bash
# Fails when src/ knows of the platform: includes from platform/ or words that are the platform's own;
# or when platform/ has grown beyond a translator's size.
cd "$1" || exit 1
most=1500
broken=0
report() {
  if [ -n "$2" ]; then echo "$1:"; echo "$2"; broken=1; fi
}
report "src/ includes from platform/" "$(grep -rnE '#[[:space:]]*include[[:space:]]*["<]([.]{1,2}/)*platform/' src)"
words='plants?|apportion|setpoint|setpoint_ms|gap_setpoint_ms|route_table|path_prefix|provider_api|port_range|machine_class'
words+='|conn_limit|warmup_ms|WELDSAIL_CONFIG'
words+='|X-Trial-Id|X-Server-Seal|X-Expect-Unit|X-Expect-Revision|X-Unit|X-Unit-Load|X-Not-Run|X-Deadline-Ms|X-Prompt-Prefix'
words+='|X-Key|X-Tenant|unkeyed|credentials'
words+='|X-Weight-Revisions|X-Base-Revision|X-Precedence|X-Tokens|X-Model'
report "src/ holds words of the platform" "$(grep -rnwiE "$words" src)"
report "src/ holds words of the platform" "$(grep -rnE '"(ident|trials|gain|pinned)"' src)"
lines=$(cat platform/* 2>/dev/null | wc -l)
if [ "$lines" -ge "$most" ]; then report "platform/ must stay under $most lines" "$lines lines"; fi
exit $broken
