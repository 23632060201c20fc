#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts into target/review.
# It needs g++ only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
build() { # NAME FOLDER
  g++ -std=c++20 -O1 -pthread -I. review/stand_ins/*.cc "$2/$1.cc" \
    -o "target/review/$1.new"
  mv "target/review/$1.new" "target/review/$1"
}
build replaced_machine review/1
build late_request review/2
build stale_order review/3
