package silverlatch.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks identity and format version of a data directory, and how corrupt, unreadable or unsupported ones are opened. */
final class LogFolderTest {
    @TempDir
    private Path folder;

    @Test
    void corruptDirectoryIsReplacedByANewIdentityThatMayNotBootstrap() throws IOException {
        final String old = LogFolders.open(folder).identity();
        Files.writeString(folder.resolve("identity"), "torn");
        assertThat(WriteAheadLog.open(folder) instanceof WriteAheadLog.OpenResult.Damaged, is(true));
        WriteAheadLog.moveAside(folder);
        final WriteAheadLog.OpenResult.Success next =
                (WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder, false);
        assertThat(next.identity().equals(old), is(false));
        assertThat(next.mayBootstrap(), is(false));
        assertThat(Files.readString(folder.resolve("damaged/identity")), is("torn"));
    }

    @Test
    void unreadableDiskIsReportedAsUnavailableNotAsDamaged() throws IOException {
        final Path file = folder.resolve("plain");
        Files.writeString(file, "no folder");
        assertThat(WriteAheadLog.open(file) instanceof WriteAheadLog.OpenResult.Unavailable, is(true));
    }

    @Test
    void directoryKeepsWhetherItsMachineMayBootstrap() {
        assertThat(LogFolders.open(folder).mayBootstrap(), is(true));
        assertThat(((WriteAheadLog.OpenResult.Success) WriteAheadLog.open(folder, false)).mayBootstrap(), is(true));
        final Path wiped = folder.resolve("wiped");
        assertThat(((WriteAheadLog.OpenResult.Success) WriteAheadLog.open(wiped, false)).mayBootstrap(), is(false));
        assertThat(((WriteAheadLog.OpenResult.Success) WriteAheadLog.open(wiped, false)).mayBootstrap(), is(false));
    }

    @Test
    void reopenWithoutAnIdentityFileCreatesNoNewMachine() throws IOException {
        final WriteAheadLog.OpenResult.Success first = LogFolders.open(folder);
        Files.delete(folder.resolve("identity"));
        assertThat(first.log().reopen(), instanceOf(WriteAheadLog.OpenResult.Unavailable.class));
        assertThat(Files.exists(folder.resolve("identity")), is(false));
    }

    @Test
    void directoryOfAnotherFormatIsRejectedAndLeftUnchanged() throws IOException {
        LogFolders.open(folder).log().close();
        assertThat(Files.readString(folder.resolve("format")), is("" + WriteAheadLog.FORMAT_VERSION));
        Files.delete(folder.resolve("format"));
        final Map<String, byte[]> before = LogFolders.files(folder);
        final WriteAheadLog.OpenResult older = WriteAheadLog.open(folder);
        assertThat(older, instanceOf(WriteAheadLog.OpenResult.Unsupported.class));
        assertThat(((WriteAheadLog.OpenResult.Unsupported) older).reason(), containsString("log format 1"));
        assertThat(LogFolders.files(folder).keySet(), is(before.keySet()));
        Files.writeString(folder.resolve("format"), "" + (WriteAheadLog.FORMAT_VERSION + 1));
        assertThat(WriteAheadLog.open(folder), instanceOf(WriteAheadLog.OpenResult.Unsupported.class));
    }
}
