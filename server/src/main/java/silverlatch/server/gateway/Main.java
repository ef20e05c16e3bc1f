package silverlatch.server.gateway;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;
import silverlatch.server.process.DaemonProcess;
import silverlatch.server.settings.CommandLineFlags;
import silverlatch.server.settings.Settings;

/** The program {@code gateway}, which accepts clients' requests and forwards them to workers. */
public final class Main {
    private Main() {}

    /** Runs a gateway until the process is asked to stop. Exit codes: 2 for invalid flags or settings, 3 if it can't start. */
    public static void main(final String[] args) {
        switch (CommandLineFlags.parse("gateway", args, false, System.out, System.err)) {
            case CommandLineFlags.ParseResult.Exit exit -> System.exit(exit.code());
            case CommandLineFlags.ParseResult.Run run -> DaemonProcess.run("gateway", () -> build(run.settings()));
        }
    }

    /** Creates a gateway from validated settings, without starting anything or opening a port. */
    public static Gateway build(final Settings settings) {
        return DaggerMain_GatewayComponent.factory().create(settings).gateway();
    }

    /** The dependency graph of a gateway. */
    @Singleton
    @Component(modules = GatewayModule.class)
    interface GatewayComponent {
        /** Returns the only gateway of the process. */
        Gateway gateway();

        /** Creates the dependency graph. */
        @Component.Factory
        interface Factory {
            /** Creates the graph from validated settings. */
            GatewayComponent create(@BindsInstance Settings settings);
        }
    }
}
