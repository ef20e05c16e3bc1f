# Sourced by the programs in bin/ and the scripts in .ci/. Finds a JDK and sets JDK_VERSION, JAVA_HOME, ROOT and
# JDK_OPTIONS. Supported JDK versions are 17 (with pattern matching for switch as a preview feature), and 21 or above.
# JAVA_HOME is kept if it is the directory of a supported JDK. Otherwise it is set to the newest supported JDK in the
# directory of the default java, beside that directory, or in JDK_DIRECTORY (default /usr/lib/jvm). If there is none,
# prints one line and exits with code 1.

JDK_DIRECTORY=${JDK_DIRECTORY:-/usr/lib/jvm}

# Prints the specification version of the JDK in directory $1 (17, 21, 25, ...), or nothing if it contains no JDK.
jdk_version() {
  if [ -n "$1" ] && [ -x "$1/bin/javac" ] && [ -x "$1/bin/jlink" ] && [ -x "$1/bin/java" ]; then
    "$1/bin/java" -XshowSettings:properties -version 2>&1 | sed -n 's/ *java.specification.version = //p'
  fi
}

fits() { # fits VERSION: returns whether the JDK version is supported
  case $1 in
    17) true ;;
    '' | *[!0-9]*) false ;;
    *) [ "$1" -ge 21 ] ;;
  esac
}

# Prints a line "VERSION DIRECTORY" for each supported JDK, newest first. Looks in the directory of the default java, beside
# that directory, and in JDK_DIRECTORY.
fitting_jdks() {
  local home dir version
  home=$(java -XshowSettings:properties -version 2>&1 | sed -n 's/ *java.home = //p') || true
  home=${home:-$JDK_DIRECTORY/default-java}
  for dir in "$home" "$(dirname "$home")"/* "$JDK_DIRECTORY"/*; do
    if [ ! -L "$dir" ]; then
      version=$(jdk_version "$dir")
      if fits "$version"; then echo "$version $dir"; fi
    fi
  done | sort -u | sort -s -k1,1nr
}

# Prints the JVM options that the class files and libraries need on a JDK of version $1.
jdk_options() {
  if [ "$1" -lt 21 ]; then
    echo --enable-preview
  elif "$JAVA_HOME/bin/java" --sun-misc-unsafe-memory-access=allow -version >/dev/null 2>&1; then
    echo --sun-misc-unsafe-memory-access=allow
  fi
}

JDK_VERSION=$(jdk_version "${JAVA_HOME:-}")
if ! fits "$JDK_VERSION"; then
  unfit=${JAVA_HOME:+" (JAVA_HOME=$JAVA_HOME is not a supported JDK)"}
  JAVA_HOME=
  read -r JDK_VERSION JAVA_HOME < <(fitting_jdks) || true
  if [ -z "$JAVA_HOME" ]; then
    echo "no JDK of 17, or of 21 or above, was found$unfit: install openjdk-17-jdk-headless or set JAVA_HOME" >&2
    exit 1
  fi
fi
export JAVA_HOME
JDK_OPTIONS=$(jdk_options "$JDK_VERSION")
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)

run() { # run CLASS ARGUMENT...: replaces the shell by a Java program from the jars that Maven built
  if [ ! -d "$ROOT/target/lib" ]; then
    echo "target/lib is missing; build first: mvn -B package" >&2
    exit 1
  fi
  exec "$JAVA_HOME/bin/java" $JDK_OPTIONS ${SILVERLATCH_JAVA:-} -cp "$ROOT/target/lib/*" "$@"
}
