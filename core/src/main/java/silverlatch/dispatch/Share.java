package silverlatch.dispatch;

/** A tenant's place in the weighted fair order. One duty owns it. */
final class Share {
    double tag;

    Share(final double tag) {
        this.tag = tag;
    }
}
