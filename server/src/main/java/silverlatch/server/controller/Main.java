package silverlatch.server.controller;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;
import java.util.Optional;
import silverlatch.log.WriteAheadLog;
import silverlatch.server.process.DaemonProcess;
import silverlatch.server.settings.CommandLineFlags;
import silverlatch.server.settings.Settings;

/** The program {@code controller}. */
public final class Main {
    private Main() {}

    /** Runs a controller until the process is asked to stop. */
    public static void main(final String[] args) {
        switch (CommandLineFlags.parse("controller", args, true, System.out, System.err)) {
            case CommandLineFlags.ParseResult.Exit exit -> System.exit(exit.code());
            case CommandLineFlags.ParseResult.Run run ->
                DaemonProcess.run("controller", () -> build(run.settings(), LogOpener.open(run.settings(), false)));
        }
    }

    /** Builds a controller from its settings and, if it has a data directory, its opened log. */
    public static Controller build(final Settings settings, final Optional<WriteAheadLog.OpenResult.Success> opened) {
        return DaggerMain_ControllerComponent.factory().create(settings, opened).controller();
    }

    /** The object graph of a controller. */
    @Singleton
    @Component(modules = ControllerModule.class)
    interface ControllerComponent {
        /** Returns the controller. */
        Controller controller();

        /** Creates object graphs. */
        @Component.Factory
        interface Factory {
            /** Creates the graph from the settings and, if there is a data directory, the opened log. */
            ControllerComponent create(
                    @BindsInstance Settings settings, @BindsInstance Optional<WriteAheadLog.OpenResult.Success> opened);
        }
    }
}
