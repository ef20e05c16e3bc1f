package silverlatch.server.gateway;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;
import silverlatch.server.process.DaemonProcess;
import silverlatch.server.settings.CommandLineFlags;
import silverlatch.server.settings.Settings;

/** The program {@code gateway}: accepts requests of clients and places them at workers. */
public final class Main {
    private Main() {}

    /** Runs a gateway until it is told to stop. Exit codes: 2 for faulty flags or settings, 3 when it can't start. */
    public static void main(final String[] args) {
        switch (CommandLineFlags.parse("gateway", args, false, System.out, System.err)) {
            case CommandLineFlags.ParseResult.Exit exit -> System.exit(exit.code());
            case CommandLineFlags.ParseResult.Run run -> DaemonProcess.run("gateway", () -> build(run.settings()));
        }
    }

    /** Builds a gateway from checked settings; nothing is started and no port is opened. */
    public static Gateway build(final Settings settings) {
        return DaggerMain_GatewayComponent.factory().create(settings).gateway();
    }

    /** The object graph of a gateway. */
    @Singleton
    @Component(modules = GatewayModule.class)
    interface GatewayComponent {
        /** The one gateway of the process. */
        Gateway gateway();

        /** Creates the graph. */
        @Component.Factory
        interface Factory {
            /** From checked settings. */
            GatewayComponent create(@BindsInstance Settings settings);
        }
    }
}
