# Finds a JDK of at least 21: JAVA_HOME, or one that stands beside the default java. Sets JAVA_HOME or fails.
good() { [ -x "$1/bin/javac" ] && [ "$("$1/bin/java" -XshowSettings:properties -version 2>&1 | sed -n 's/ *java.specification.version = //p')" -ge 21 ] 2>/dev/null; }
if ! good "${JAVA_HOME:-/nowhere}"; then
  home=$(java -XshowSettings:properties -version 2>&1 | sed -n 's/ *java.home = //p')
  found=
  for dir in "$home" "$(dirname "$home")"/*; do
    if good "$dir"; then found=$dir; break; fi
  done
  if [ -z "$found" ]; then
    echo "no JDK of at least 21 was found in JAVA_HOME, nor at or beside ${home:-the default java}" >&2
    exit 1
  fi
  JAVA_HOME=$found
fi
export JAVA_HOME
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
UNSAFE=
"$JAVA_HOME/bin/java" --sun-misc-unsafe-memory-access=allow -version >/dev/null 2>&1 && UNSAFE=--sun-misc-unsafe-memory-access=allow
run() {
  if [ ! -d "$ROOT/target/lib" ]; then echo "build first: mvn -B package" >&2; exit 1; fi
  exec "$JAVA_HOME/bin/java" $UNSAFE $SILVERLATCH_JAVA -cp "$ROOT/target/lib/*" "$@"
}
