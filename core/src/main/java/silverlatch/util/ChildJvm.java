package silverlatch.util;

import java.util.List;

/** The command-line options for a child process that runs our classes on a JVM of the same version as this one. */
public final class ChildJvm {
    /** From this JDK on, patterns in switch are no preview any more. */
    private static final int PATTERNS_FINAL = 21;

    /** From this JDK on, libraries that use sun.misc.Unsafe cause a warning unless they are allowed to. */
    private static final int UNSAFE_WARNS = 23;

    private ChildJvm() {}

    /** The options with which this JVM's version loads and runs our classes. */
    public static List<String> options() {
        return optionsOf(Runtime.version().feature());
    }

    /** The options with which a JDK of the version loads and runs classes that it compiled. */
    static List<String> optionsOf(final int version) {
        if (version < PATTERNS_FINAL) {
            return List.of("--enable-preview");
        }
        return version < UNSAFE_WARNS ? List.of() : List.of("--sun-misc-unsafe-memory-access=allow");
    }
}
