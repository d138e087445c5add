package fawndock.cli;

import fawndock.drill.BadDay;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** {@code fawndock drill NAME}: troubles on loopback, judged by what crossed the sockets. */
@Command(name = "drill", mixinStandardHelpOptions = true, description = "Plays troubles and judges the rules.",
        subcommands = {DrillCommand.BadDayDrill.class})
final class DrillCommand implements Callable<Integer> {
    @picocli.CommandLine.Spec
    private picocli.CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return 2;
    }

    /** Three gatekeepers through overlapping troubles. */
    @Command(name = "bad-day", mixinStandardHelpOptions = true,
            description = "Three gatekeepers through overlapping troubles, in under 40 s.")
    static final class BadDayDrill implements Callable<Integer> {
        @picocli.CommandLine.Option(names = "--seed", defaultValue = "1", description = "of the traffic and faults")
        private long seed;

        @Override
        public Integer call() throws Exception {
            Logs.to(new fawndock.settings.DaemonSettings.Log(false, "warn"));
            return new BadDay(seed, System.out).run() ? 0 : 1;
        }
    }
}
