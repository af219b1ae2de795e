//! Compiles the gRPC interface between controllers, with no protoc needed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/peer.proto");
    let fds = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure().build_transport(false).compile_fds(fds)?;
    Ok(())
}
