package silverlatch.util;

import java.util.List;

/**
 * Command-line options for a child process that runs this project's classes on a JVM of the same version as this one.
 */
public final class ChildJvm {
    /** First JDK version in which patterns in switch are no longer a preview feature. */
    private static final int FIRST_VERSION_WITH_FINAL_SWITCH_PATTERNS = 21;

    /** First JDK version that prints a warning for libraries that use sun.misc.Unsafe, unless an option allows it. */
    private static final int FIRST_VERSION_WITH_UNSAFE_WARNINGS = 23;

    private ChildJvm() {}

    /** Returns the options that a JVM of this version needs to run this project's classes. */
    public static List<String> options() {
        return optionsFor(Runtime.version().feature());
    }

    /** Returns the options that a JDK of a version needs to run classes that it compiled. */
    static List<String> optionsFor(final int version) {
        if (version < FIRST_VERSION_WITH_FINAL_SWITCH_PATTERNS) {
            return List.of("--enable-preview");
        }
        return version < FIRST_VERSION_WITH_UNSAFE_WARNINGS
                ? List.of()
                : List.of("--sun-misc-unsafe-memory-access=allow");
    }
}
