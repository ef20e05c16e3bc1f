package silverlatch.judge;

/** One small view on a placement. */
public interface Judge {
    /** The name under which its findings are told. */
    String name();

    /** Its weight in a row of the table. */
    double weight(Case ticket);

    /** What it finds. */
    Finding weigh(Case ticket, Sight worker);
}
