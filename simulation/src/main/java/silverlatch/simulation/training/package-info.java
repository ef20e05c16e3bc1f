/**
 * The stand-in worker of the training run in which {@code bin/build-platform} notes the classes, lambdas and methods that the
 * programs use: without a worker that answers, the path of a response would be missing from the archives.
 */
package silverlatch.simulation.training;
