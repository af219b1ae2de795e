//! Compiles the gRPC interface between controllers. Does not need protoc.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/peer.proto");
    let descriptors = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure().build_transport(false).compile_fds(descriptors)?;
    Ok(())
}
