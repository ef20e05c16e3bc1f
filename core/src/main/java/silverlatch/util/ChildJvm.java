package silverlatch.util;

import java.util.List;

/** The command-line options for a child process that runs our classes on a JVM of the same version as this one. */
public final class ChildJvm {
    /** From this JDK on, patterns in switch are no preview any more. */
    private static final int FIRST_VERSION_WITH_FINAL_SWITCH_PATTERNS = 21;

    /** From this JDK on, libraries that use sun.misc.Unsafe cause a warning unless they are allowed to. */
    private static final int FIRST_VERSION_WITH_UNSAFE_WARNINGS = 23;

    private ChildJvm() {}

    /** The options with which this JVM's version loads and runs our classes. */
    public static List<String> options() {
        return optionsFor(Runtime.version().feature());
    }

    /** The options with which a JDK of the version loads and runs classes that it compiled. */
    static List<String> optionsFor(final int version) {
        if (version < FIRST_VERSION_WITH_FINAL_SWITCH_PATTERNS) {
            return List.of("--enable-preview");
        }
        return version < FIRST_VERSION_WITH_UNSAFE_WARNINGS
                ? List.of()
                : List.of("--sun-misc-unsafe-memory-access=allow");
    }
}
