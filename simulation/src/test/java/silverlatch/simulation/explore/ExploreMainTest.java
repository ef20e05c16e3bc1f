package silverlatch.simulation.explore;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the exit codes of the program for valid and invalid arguments. */
final class ExploreMainTest {
    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "--replicas 2",
                "--replicas 7",
                "--seeds -1",
                "--seeds many",
                "--depth 101",
                "--minutes 0",
                "--threads 0",
                "--steps 0",
                "--mutant NOBODY",
                "--mutants --mutant LEASE",
                "--replay /nowhere/at/all",
                "--wings"
            })
    void invalidArgumentsExitWithTwo(final String line) throws IOException {
        assertThat(Main.exitCode(line.split(" ")), is(2));
    }

    @Test
    void invalidScheduleFileExitsWithTwo() throws IOException {
        final Path file = Files.writeString(folder.resolve("text"), "world 3\n");
        assertThat(Main.exitCode("--replay", file.toString()), is(2));
    }

    @Test
    void mutantExitsWithOneAndSoDoesReplayOfItsSchedule() throws IOException {
        final String out = folder.toString();
        assertThat(
                Main.exitCode("--mutant", "SYNC", "--seeds", "10", "--depth", "0", "--threads", "1", "--out", out),
                is(1));
        assertThat(Main.exitCode("--replay", folder.resolve("durable.schedule").toString()), is(1));
    }

    @Test
    void scheduleWithoutViolationExitsWithZero() throws IOException {
        final Schedule schedule = new Schedule(WorldOptions.of(3, Mutant.NONE), new Moves(0, 0).initialActions());
        final Path file = Files.writeString(folder.resolve("good"), schedule.text());
        assertThat(Main.exitCode("--replay", file.toString()), is(0));
    }
}
