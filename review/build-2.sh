#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8; needs g++ only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_ins_2/*.cc; do
  g++ -std=c++20 -O2 -Wall -Wextra -I. -c "$source" \
    -o "target/review-2/$(basename "$source" .cc).o" &
done
wait
objects=(target/review-2/{wire,http,record,deployment,searcher,callers}.o)
g++ -std=c++20 -O2 -Wall -Wextra -I. review/5/extra_answer.cc "${objects[@]}" \
  -pthread -o target/review-2/extra_answer
g++ -std=c++20 -O2 -Wall -Wextra -I. review/4/split_body.cc "${objects[@]}" \
  -pthread -o target/review-2/split_body
g++ -std=c++20 -O2 -Wall -Wextra -I. review/8/lost_sign_off.cc "${objects[@]}" \
  -pthread -o target/review-2/lost_sign_off
g++ -std=c++20 -O2 -Wall -Wextra -I. review/7/unordered_version.cc \
  "${objects[@]}" -pthread -o target/review-2/unordered_version
g++ -std=c++20 -O2 -Wall -Wextra -I. review/6/lost_again.cc "${objects[@]}" \
  -pthread -o target/review-2/lost_again
